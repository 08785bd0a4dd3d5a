#ifndef BLUEBELLKEEL_HTTP_PERCENTENCODING_H
#define BLUEBELLKEEL_HTTP_PERCENTENCODING_H

#include <string>
#include <string_view>

namespace bluebellkeel {

/// Encodes \p Text as a value in the query of a target: all bytes except
/// letters, digits and `-._~` become %XX.
std::string percentEncode(std::string_view Text);

/// Decodes a value of a query. A malformed escape stands for itself.
std::string percentDecode(std::string_view Text);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_HTTP_PERCENTENCODING_H
