#ifndef BLUEBELLKEEL_HTTP_HTTPHEADERS_H
#define BLUEBELLKEEL_HTTP_HTTPHEADERS_H

#include "bluebellkeel/Core/Comparable.h"
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bluebellkeel {

/// The header fields of a message, in order. Names are case-insensitive.
class http_headers : public comparable<http_headers> {
public:
  using field = std::pair<std::string, std::string>;

  http_headers() = default;
  explicit http_headers(std::vector<field> Fields)
      : Fields(std::move(Fields)) {}

  /// Returns the value of the first field named \p Name; empty if there is
  /// none.
  std::string get(std::string_view Name) const;
  http_headers with(std::string Name, std::string Value) const;

  const std::vector<field> &fields() const { return Fields; }
  const std::vector<field> &key() const { return Fields; }

private:
  std::vector<field> Fields;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_HTTP_HTTPHEADERS_H
