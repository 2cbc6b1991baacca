# Bash completion for coriandermoor.
_coriandermoor() {
    local word=${COMP_WORDS[COMP_CWORD]}
    if [ "$COMP_CWORD" -eq 1 ]; then
        mapfile -t COMPREPLY < <(compgen -W \
            "entry gateway check explain apply show status --help --version" -- "$word")
        return
    fi
    case ${COMP_WORDS[COMP_CWORD - 1]} in
    --output) mapfile -t COMPREPLY < <(compgen -W "text json" -- "$word") ;;
    *) mapfile -t COMPREPLY < <(compgen -f -W \
        "--admin --settings --base --output --request --summary --help" -- "$word") ;;
    esac
}
complete -F _coriandermoor coriandermoor
