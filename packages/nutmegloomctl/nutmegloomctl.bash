# bash completion for nutmegloomctl

_nutmegloomctl() {
  local current=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD-1]}
  local commands="check diff apply status history help"
  local options="--platform --timeout-ms --json --comment --editor --based-on
    --offline --remove-overlay --host --limit --version --help"
  COMPREPLY=()

  case $previous in
    -p|--platform|-t|--timeout-ms|-c|--comment|-e|--editor|-b|--based-on|\
    -r|--remove-overlay|-H|--host|-n|--limit)
      return ;;
  esac
  if [[ $current == -* ]]; then
    mapfile -t COMPREPLY < <(compgen -W "$options" -- "$current")
    return
  fi
  local word command=
  for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    [[ " $commands " == *" $word "* ]] && command=$word
  done
  case $command in
    "") mapfile -t COMPREPLY < <(compgen -W "$commands" -- "$current") ;;
    check|diff|apply)
      compopt -o filenames
      mapfile -t COMPREPLY < <(compgen -f -X '!*.jsonc' -- "$current"
        compgen -d -- "$current") ;;
  esac
}
complete -F _nutmegloomctl nutmegloomctl
