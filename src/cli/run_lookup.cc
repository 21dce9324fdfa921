#include "cli/command_line.h"
#include "cli/entry_call.h"
#include "cli/entry_finder.h"
#include "cli/run.h"

#include <Poco/URI.h>
#include <gflags/gflags.h>

DEFINE_string(client, "", "caller's IP address; your own if not given");

namespace buckthorngrade {

int runLookup(const command_arguments &arguments)
{
    requireArguments(arguments, 1, "SERVICE");
    Poco::URI path("/v1/lookup");
    path.addQueryParameter("service", arguments[0]);
    if (!FLAGS_client.empty())
        path.addQueryParameter("client", FLAGS_client);
    return printEntryResponse(findEntry(), path.toString(), "service '" + arguments[0] + "'");
}

} // namespace buckthorngrade
