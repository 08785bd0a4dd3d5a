#ifndef BLUEBELLKEEL_RELAY_HEADERLIST_H
#define BLUEBELLKEEL_RELAY_HEADERLIST_H

#include <string>
#include <utility>
#include <vector>

namespace bluebellkeel {

/// Names and values of header fields forwarded without being parsed, in order.
using header_list = std::vector<std::pair<std::string, std::string>>;

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_HEADERLIST_H
