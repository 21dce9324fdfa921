#include "base/error.h"
#include "cli/admin_client.h"
#include "cli/cli_error.h"
#include "cli/command_line.h"
#include "cli/common_flags.h"
#include "cli/edit_result.h"
#include "cli/output.h"
#include "cli/run.h"
#include "cli/text_file.h"
#include "model/profile.h"

#include <Poco/URI.h>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <charconv>

DEFINE_string(base_version, "",
              "version that the change is based on, 0 for a new profile; "
              "needed unless the file came from 'profile get'");
DEFINE_string(at_version, "", "version to show instead of the current one");

namespace buckthorngrade {

namespace {

// Prefix of the first line that 'profile get' prints. 'profile set' reads the base version from it.
constexpr std::string_view baseComment = "# base_version: ";

std::string encode(const std::string &name)
{
    std::string encoded;
    Poco::URI::encode(name, "/?#&+=", encoded);
    return encoded;
}

std::uint64_t parseNumberFlag(std::string_view flag, std::string_view text)
{
    std::uint64_t number = 0;
    const auto [rest, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || failure != std::errc() || rest != text.data() + text.size())
        throw usage_error(fmt::format("--{} must be a whole number; it is '{}'", flag, text));
    return number;
}

admin_client makeClient()
{
    return {controlAddresses(), timeoutFlag()};
}

http_reply requireFound(http_reply reply, const std::string &what)
{
    constexpr int statusOk = 200;
    constexpr int statusNotFound = 404;
    if (reply.head.status == statusNotFound)
        throw not_found_error(
            fmt::format("{} does not exist; 'profile list' shows the existing profiles", what));
    if (reply.head.status != statusOk)
        throw error(
            fmt::format("{} returned status {}: {}", reply.address, reply.head.status, reply.body));
    return reply;
}

void printTable(const http_reply &reply, const std::string &key,
                const std::vector<std::string> &fields)
{
    if (wantsJson())
        fmt::print("{}\n", reply.body);
    else
        fmt::print("{}", formatTable(*parseReply(reply), key, fields));
}

int listProfiles()
{
    printTable(requireFound(makeClient().get("/v1/profiles"), "the list"), "profiles",
               {"name", "version", "revision", "operator", "time", "reason"});
    return exit_ok;
}

int getProfile(const std::string &name)
{
    std::string path = "/v1/profiles/" + encode(name);
    if (!FLAGS_at_version.empty())
        path += fmt::format("?version={}", parseNumberFlag("at_version", FLAGS_at_version));
    const http_reply reply
        = requireFound(makeClient().get(path), fmt::format("profile '{}'", name));
    const std::string version = reply.head.get("Profile-Version");
    const std::string revision = reply.head.get("Revision");
    if (wantsJson()) {
        Poco::JSON::Object object;
        object.set("name", name);
        object.set("version", version);
        object.set("revision", revision);
        object.set("yaml", reply.body);
        fmt::print("{}\n", formatJson(object));
    } else {
        fmt::print("{}{}\n{}", baseComment, version, reply.body);
    }
    return exit_ok;
}

int showHistory(const std::string &name)
{
    const std::string path = "/v1/profiles/" + encode(name) + "/history";
    printTable(requireFound(makeClient().get(path), fmt::format("profile '{}'", name)), "versions",
               {"version", "revision", "operator", "time", "request_id", "reason"});
    return exit_ok;
}

int setProfile(const std::string &name, const std::string &file)
{
    std::string yaml = readTextFile(file);
    std::string base = FLAGS_base_version;
    if (yaml.starts_with(baseComment)) {
        const std::size_t end = yaml.find('\n');
        if (base.empty())
            base = yaml.substr(baseComment.size(), end - baseComment.size());
        yaml.erase(0, end == std::string::npos ? end : end + 1);
    }
    if (base.empty())
        throw usage_error("--base_version is required: the version that the file is based on, or 0 "
                          "for a new profile");
    const std::uint64_t baseVersion = parseNumberFlag("base_version", base);
    try {
        const profile checked = parseProfile(yaml);
        if (checked.name != name)
            throw settings_error(
                fmt::format("the profile's name is '{}', not '{}'", checked.name, name));
    } catch (const settings_error &failure) {
        throw error(fmt::format("{}: {}", file, failure.what()));
    }
    const auto addresses = controlAddresses();
    const edit_headers headers = editHeadersFromFlags();
    const http_reply reply
        = admin_client(addresses, timeoutFlag())
              .edit("PUT",
                    fmt::format("/v1/profiles/{}?base_version={}", encode(name), baseVersion),
                    headers, yaml);
    return finishEdit(reply, addresses);
}

} // namespace

int runProfile(const command_arguments &arguments)
{
    const std::string action = arguments.empty() ? "" : arguments.front();
    wantsJson(); // reports an invalid --output before anything is changed
    if (action == "list") {
        requireArguments(arguments, 1, "list");
        return listProfiles();
    }
    if (action == "get") {
        requireArguments(arguments, 2, "get NAME");
        return getProfile(arguments[1]);
    }
    if (action == "history") {
        requireArguments(arguments, 2, "history NAME");
        return showHistory(arguments[1]);
    }
    if (action == "set") {
        requireArguments(arguments, 3, "set NAME FILE");
        return setProfile(arguments[1], arguments[2]);
    }
    throw usage_error("expected: profile list | get NAME | set NAME FILE | history NAME");
}

} // namespace buckthorngrade
