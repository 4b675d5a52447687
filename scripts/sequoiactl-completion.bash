# Bash completion of sequoiactl; load with: source scripts/sequoiactl-completion.bash
_sequoiactl() {
    local current=${COMP_WORDS[COMP_CWORD]}
    local commands="status owner hosts routes move confirm-gone timeline explain help"
    local flags="--platform= --processes= --output= --timeout_ms= --help"
    local command="" index
    for ((index = 1; index < COMP_CWORD; index++)); do
        case ${COMP_WORDS[index]} in
            -* | =) ;;
            *)
                if [[ " $commands " == *" ${COMP_WORDS[index]} "* ]]; then
                    command=${COMP_WORDS[index]}
                    break
                fi
                ;;
        esac
    done
    case $command in
        move | confirm-gone) flags+=" --reason= --author= --dry_run" ;;
        timeline) flags+=" --since_ms= --grep=" ;;
    esac
    if [[ ${COMP_WORDS[COMP_CWORD - 1]} == "=" && ${COMP_WORDS[COMP_CWORD - 2]} == --output ]]; then
        mapfile -t COMPREPLY < <(compgen -W "text json" -- "$current")
    elif [[ $current == -* ]]; then
        mapfile -t COMPREPLY < <(compgen -W "$flags" -- "$current")
        [[ ${COMPREPLY[0]:-} == *= ]] && compopt -o nospace
    elif [[ -z $command || $command == help ]]; then
        mapfile -t COMPREPLY < <(compgen -W "$commands" -- "$current")
    fi
}
complete -F _sequoiactl sequoiactl
