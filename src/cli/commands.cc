#include "cli/commands.h"

#include "cli/cli_error.h"
#include "cli/command_line.h"
#include "cli/run.h"
#include "platform/platform_roles.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <exception>

namespace buckthorngrade {

namespace {

constexpr std::string_view exitCodeHelp
    = "Exit codes: 0 done; 1 rejected; 2 wrong usage; 3 no usable answer in time; 4 not found.\n";

int runHelp(const command_arguments &arguments);

const std::vector<command> &commandTable()
{
    static const std::vector<command> table = {
        {"control", "", "run a control instance", {"config", "initialize"}, runControl},
        {"entry", "", "run an entry instance", {"config"}, runEntry},
        {"platform-control",
         "",
         "run a control instance with the platform's settings",
         {},
         runPlatformControl},
        {"platform-entry",
         "",
         "run an entry instance with the platform's settings",
         {},
         runPlatformEntry},
        {"check",
         "[PROFILE-FILE ...]",
         "check a process's settings and profile files",
         {"config", "output"},
         runCheck},
        {"profile",
         "list | get NAME | set NAME FILE | history NAME",
         "show, change and trace steering profiles",
         {"control", "config", "output", "timeout", "operator", "reason", "request_id", "wait",
          "base_version", "at_version"},
         runProfile},
        {"drain",
         "list | announce KIND TARGET | cancel ID",
         "plan stops of upstreams, failure domains, regions and instances",
         {"control", "config", "output", "timeout", "operator", "reason", "request_id", "wait",
          "start", "end", "for"},
         runDrain},
        {"status",
         "",
         "show the control group and every entry instance",
         {"control", "config", "output", "timeout"},
         runStatus},
        {"member",
         "list | add ID | replace OLD-ID NEW-ID | remove ID",
         "show and change the members of the control group",
         {"control", "config", "output", "timeout", "operator", "reason", "request_id", "learner"},
         runMember},
        {"instance",
         "remove NAME",
         "remove an entry instance that is gone for good",
         {"control", "config", "output", "timeout", "operator", "reason", "request_id", "wait"},
         runInstance},
        {"explain",
         "DECISION-ID",
         "show why a decision was made",
         {"control", "config", "output", "timeout", "entry"},
         runExplain},
        {"lookup",
         "SERVICE",
         "ask which entry instances a caller should use",
         {"control", "config", "output", "timeout", "entry", "client"},
         runLookup},
        {"events", "", "print the catalogue of log events as Markdown", {}, runEvents},
        {"version", "", "print the version", {}, runVersion},
        {"help", "[COMMAND]", "list the commands, or explain one", {}, runHelp},
    };
    return table;
}

const command *findCommand(std::string_view name)
{
    const auto found = std::ranges::find(commandTable(), name, &command::name);
    return found == commandTable().end() ? nullptr : &*found;
}

void printOverview(std::FILE *output)
{
    fmt::print(output, "Usage: buckthorngrade COMMAND [ARGUMENT ...] [--FLAG=VALUE ...]\n\n");
    for (const command &each : commandTable())
        fmt::print(output, "  {:<17}{}\n", each.name, each.help);
    fmt::print(output, "\n{}", exitCodeHelp);
}

void printCommandHelp(const command &about)
{
    fmt::print("Usage: buckthorngrade {}{}{}\n\n{}\n", about.name, about.usage.empty() ? "" : " ",
               about.usage, about.help);
    if (!about.flags.empty())
        fmt::print("\n{}", describeFlags(about.flags));
    fmt::print("\n{}", exitCodeHelp);
}

int runHelp(const command_arguments &arguments)
{
    if (arguments.empty()) {
        printOverview(stdout);
        return exit_ok;
    }
    const command *about = findCommand(arguments.front());
    if (!about)
        throw usage_error(fmt::format("unknown command '{}'", arguments.front()));
    printCommandHelp(*about);
    return exit_ok;
}

int report(const std::exception &failure, exit_code code)
{
    fmt::print(stderr, "buckthorngrade: {}\n", failure.what());
    return code;
}

} // namespace

std::span<const command> allCommands()
{
    return commandTable();
}

int runCommand(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc < 2) {
        printOverview(stderr);
        return exit_usage;
    }
    std::string_view name = argv[1];
    if (name == "--help" || name == "-h")
        name = "help";
    if (name == "--version")
        name = "version";
    const command *chosen = findCommand(name);
    try {
        if (!chosen)
            throw usage_error(fmt::format("unknown command '{}'", name));
        const parsed_command_line line = parseFlags({argv + 2, argv + argc}, chosen->flags);
        if (line.wantsHelp) {
            printCommandHelp(*chosen);
            return exit_ok;
        }
        return chosen->run(line.arguments);
    } catch (const usage_error &failure) {
        fmt::print(stderr, "buckthorngrade: {}\nRun 'buckthorngrade help{}{}' for the usage.\n",
                   failure.what(), chosen ? " " : "", chosen ? name : "");
        return exit_usage;
    } catch (const unreachable_error &failure) {
        return report(failure, exit_unreachable);
    } catch (const not_found_error &failure) {
        return report(failure, exit_not_found);
    } catch (const std::exception &failure) {
        return report(failure, exit_rejected);
    }
}

} // namespace buckthorngrade
