#include "cli/command_line.h"
#include "cli/entry_call.h"
#include "cli/entry_finder.h"
#include "cli/run.h"

#include <Poco/URI.h>

namespace buckthorngrade {

int runExplain(const command_arguments &arguments)
{
    requireArguments(arguments, 1, "DECISION-ID");
    std::string encoded;
    Poco::URI::encode(arguments[0], "/?#&+=", encoded);
    return printEntryResponse(findEntry(arguments[0]), "/v1/explain/" + encoded,
                              "decision '" + arguments[0]
                                  + "'; an instance keeps only its latest decisions");
}

} // namespace buckthorngrade
