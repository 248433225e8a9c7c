// Completion for bash, made from the command line itself so that it cannot lag behind.
#include <cstdio>
#include <string>

#include "cli/commands.h"

namespace hingelink::cli {
namespace {

// One case for each sub-command, with the words that can follow it.
void AddCases(const CLI::App* app, const std::string& path, std::string& cases) {
  std::string words;
  for (const CLI::App* sub : app->get_subcommands(nullptr)) words += sub->get_name() + ' ';
  for (const CLI::Option* option : app->get_options()) {
    for (const std::string& name : option->get_lnames()) words += "--" + name + ' ';
  }
  cases += "    '" + path + "') words='" + words + "' ;;\n";
  for (const CLI::App* sub : app->get_subcommands(nullptr)) {
    AddCases(sub, path.empty() ? sub->get_name() : path + ' ' + sub->get_name(), cases);
  }
}

}  // namespace

void AddCompletion(CLI::App& app) {
  CLI::App* completion = app.add_subcommand("completion", "Print completion for bash");
  completion->footer("Use it with:  source <(hingelink completion)");
  completion->callback([&app] {
    std::string cases;
    AddCases(&app, "", cases);
    std::printf(
        "_hingelink() {\n"
        "  local path='' word words=''\n"
        "  for word in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do\n"
        "    case \"$word\" in -*) ;; *) path=\"${path:+$path }$word\" ;; esac\n"
        "  done\n"
        "  case \"$path\" in\n%s  esac\n"
        "  COMPREPLY=($(compgen -W \"$words\" -- \"${COMP_WORDS[COMP_CWORD]}\"))\n"
        "  [ -n \"$words\" ] || COMPREPLY=($(compgen -f -- \"${COMP_WORDS[COMP_CWORD]}\"))\n"
        "}\n"
        "complete -F _hingelink hingelink\n",
        cases.c_str());
  });
}

}  // namespace hingelink::cli
