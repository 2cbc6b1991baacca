# Shortcuts for CMake and the scripts. BUILD is the build folder, JOBS the
# number of parallel compilations, and SEED the seed of `make soak`.
BUILD ?= build
JOBS ?= $(shell nproc)
SEED ?= 1

.PHONY: all deps demo test bench slopes verify soak lint format clean

all: $(BUILD)/build.ninja
	cmake --build $(BUILD) -j $(JOBS)

$(BUILD)/build.ninja: CMakeLists.txt
	cmake -S . -B $(BUILD) -G Ninja

deps:
	scripts/install-deps

demo: deps
	$(MAKE) all
	scripts/demo

test: deps
	cmake -S . -B $(BUILD)/test -G Ninja -DCM_SANITIZE=ON \
	    -DCMAKE_BUILD_TYPE=Debug
	cmake --build $(BUILD)/test -j $(JOBS)
	cmake -S . -B $(BUILD)/fuzz -G Ninja -DCM_FUZZ=ON \
	    -DCMAKE_C_COMPILER=clang
	cmake --build $(BUILD)/fuzz -j $(JOBS) --target \
	    yaml_fuzz message_fuzz json_fuzz http_fuzz wire_fuzz \
	    response_fuzz
	ctest --test-dir $(BUILD)/fuzz -R fuzz_ --output-on-failure
	ctest --test-dir $(BUILD)/test --output-on-failure

bench: all
	scripts/bench

slopes: all
	scripts/slopes

verify:
	scripts/verify

soak: all
	testing/soak/soak.py --build $(BUILD) --seed $(SEED) --seconds 60

lint:
	scripts/lint

format:
	git ls-files '*.c' '*.h' | xargs clang-format -i

clean:
	rm -rf $(BUILD)
