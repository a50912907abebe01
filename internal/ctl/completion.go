package ctl

import "fmt"

type completionCommand struct{}

const bashCompletion = `_sparshorectl() {
  local words="config policy status zone drain timeline change load hash-key completion version"
  case "${COMP_WORDS[COMP_CWORD-1]}" in
    config) words="check apply show diff" ;;
    policy) words="check explain" ;;
    zone) words="status" ;;
    --output) words="table json" ;;
    check|apply|diff|explain) COMPREPLY=($(compgen -f -- "${COMP_WORDS[COMP_CWORD]}")); return ;;
  esac
  COMPREPLY=($(compgen -W "$words --server --token --output --help --version" -- "${COMP_WORDS[COMP_CWORD]}"))
}
complete -F _sparshorectl sparshorectl
`

func (*completionCommand) run(env *environment) error {
	_, err := fmt.Fprint(env.stdout, bashCompletion)
	return err
}
