/// @file cm_test.h
/// Runs the tests of one executable as a CUnit suite.

#ifndef CM_TEST_H
#define CM_TEST_H

#include <CUnit/Basic.h>
#include <glib.h>
#include <stdlib.h>

struct cm_test {
    const char *name;
    void (*run)(void);
};

/// Runs all tests of a suite.
/// @return EXIT_SUCCESS if all assertions passed, else EXIT_FAILURE.
static inline int
CmTest_Run(const char *suite_name, const struct cm_test *tests, size_t n)
{
    if (CU_initialize_registry() != CUE_SUCCESS) {
        return EXIT_FAILURE;
    }
    CU_pSuite suite = CU_add_suite(suite_name, NULL, NULL);
    for (size_t i = 0; i < n; i++) {
        CU_add_test(suite, tests[i].name, tests[i].run);
    }
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

#define CM_TEST_MAIN(suite, tests)                                            \
    int main(void)                                                            \
    {                                                                         \
        return CmTest_Run(suite, tests, G_N_ELEMENTS(tests));                 \
    }

#endif
