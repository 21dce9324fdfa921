#pragma once

#include "base/http_head.h"
#include "carrier/proxy_header_names.h"

#include <chrono>
#include <optional>

namespace buckthorngrade {

// The notices about further requests in the head of an upstream's response.
//
// "Leaving" counts in a response of any status if one of its fields has the value "1". Retry-After
// counts in a response with status 503 if its value is a number of seconds, whole or with a decimal
// fraction; of several ones the longest counts. A request limit counts in a response of any status
// if its value is such a number of requests per second; of several ones the lowest counts. All
// other values, such as dates, negative numbers and exponents, are ignored.
struct notice_fields
{
    bool isLeaving = false;
    std::optional<std::chrono::milliseconds>
        quietPeriod; // at most upstream_notices::maxQuietPeriod
    std::optional<double> requestLimit; // at most upstream_notices::maxRequestLimit
    bool hasRequestLimitField = false; // with any value
    bool hasIgnoredValue = false; // a field was present and its value was ignored
};
notice_fields parseNoticeFields(const http_head &response, const proxy_header_names &names);

} // namespace buckthorngrade
