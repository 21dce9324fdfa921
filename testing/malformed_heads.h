#pragma once

#include <string>
#include <vector>

namespace buckthorngrade {

// Parts of response heads that no reader may accept, for the tests of everything that reads
// responses.

// Texts in the place of a status code.
std::vector<std::string> malformedStatusCodes();

// Field lines without their CRLF, most of them with a malformed name.
std::vector<std::string> malformedFieldLines();

// The text with its control bytes and bytes above ASCII as \xHH, for messages of failed tests.
std::string printable(const std::string &text);

} // namespace buckthorngrade
