# bash completion for bulrushctl; source this file.

_bulrushctl_options()
{
	echo "--entry= --format=text --format=json --timeout-ms= --help"
	case $1 in
	plan) echo "--from" ;;
	apply) echo "--wait --author= --if-version=" ;;
	submit) echo "--key= --wait-ms=" ;;
	explain) echo "--host= --path= --key-file=" ;;
	get) echo "--wait-ms=" ;;
	cancel) echo "--team= --prefix=" ;;
	esac
}

_bulrushctl()
{
	local cur=${COMP_WORDS[COMP_CWORD]} commands command= word
	commands="check plan apply config submit explain get cancel status nodes
	    workers teams trace drain replica"
	for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
		case " ${commands//[[:space:]]/ } " in
		*" $word "*) command=$word; break ;;
		esac
	done
	if [[ $cur == -* ]]; then
		COMPREPLY=($(compgen -W "$(_bulrushctl_options "$command")" \
		    -- "$cur"))
		return
	fi
	case $command in
	"") COMPREPLY=($(compgen -W "$commands" -- "$cur")) ;;
	check | plan | apply) COMPREPLY=($(compgen -d -- "$cur")) ;;
	submit | explain) COMPREPLY=($(compgen -f -- "$cur")) ;;
	replica) COMPREPLY=($(compgen -W "add remove" -- "$cur")) ;;
	esac
}

complete -o nospace -F _bulrushctl bulrushctl
