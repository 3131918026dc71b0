# Bash completion for banyangapctl. Source this file, or install it as
# /usr/share/bash-completion/completions/banyangapctl.

_banyangapctl ()
{
  local word=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD-1]}
  local commands="check diff apply get watch dump explain route faults version"
  local options="--address --token --owner --operator --based-on --dry-run
    --no-wait --from --timeout --output --json --method --key --deadline --help --usage --version"
  local command="" i
  for ((i = 1; i < COMP_CWORD; i++)); do
    case " $commands " in
      *" ${COMP_WORDS[i]} "*) command=${COMP_WORDS[i]}; break ;;
    esac
  done
  case $previous in
    --output) COMPREPLY=($(compgen -W "text json" -- "$word")); return ;;
    --address|--token|--owner|--operator|--based-on|--from|--timeout|-a|-o|\
    --method|--key|--deadline)
      COMPREPLY=(); return ;;
  esac
  if [[ $word == -* ]]; then
    COMPREPLY=($(compgen -W "$options" -- "$word"))
  elif [[ -z $command ]]; then
    COMPREPLY=($(compgen -W "$commands" -- "$word"))
  elif [[ $command == check || $command == diff || $command == apply ]]; then
    compopt -o filenames 2>/dev/null
    COMPREPLY=($(compgen -f -X '!*.y*ml' -- "$word") $(compgen -d -- "$word"))
  else
    COMPREPLY=()
  fi
}

complete -F _banyangapctl banyangapctl
