"""The grammar of the operators' language (LALR, parsed by lark)."""

OPERATORS_GRAMMAR = r"""
start: show_command | show_rollout | show | deploy | drain | undrain | stop
     | set_object | set_engine_role | create | delete | release

show: "show" WORD [where] [order] [limit]
show_command: "show" "command" word
show_rollout: "show" "rollout" name
where: "where" condition ("and" condition)*
condition: WORD COMPARISON value
order: "order" "by" WORD [DIRECTION]
limit: "limit" WORD

deploy: "deploy" "model" name "version" WORD ["adapter" name] suffix*
drain: "drain" TARGET name ["reason" value] suffix*
undrain: "undrain" TARGET name suffix*
stop: "stop" "node" name suffix*
set_object: "set" WORD name assignment ("," assignment)* suffix*
set_engine_role: "set" "engine" name "role" WORD suffix*
create: "create" WORD name [assignment ("," assignment)*] suffix*
delete: "delete" WORD name suffix*
release: "release" "request" name [dry_run]

assignment: field value
// After a name the lexer accepts every keyword that follows a name in some command and prefers it
// to WORD, so fields that are also such keywords are listed.
!field: WORD | "role" | "reason" | "version"
suffix: if_generation | dry_run
if_generation: "if" "generation" WORD
dry_run: "--dry-run"
name: WORD | STRING
word: WORD
value: WORD | STRING

TARGET: "backend" | "node"
DIRECTION: "asc" | "desc"
COMPARISON: "!=" | "<=" | ">=" | "=" | "<" | ">" | "~"
STRING: /"(\\.|[^"\\])*"/
WORD: /[^\s,=<>!~"]+/
%import common.WS
%ignore WS
"""
