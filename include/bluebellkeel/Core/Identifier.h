#ifndef BLUEBELLKEEL_CORE_IDENTIFIER_H
#define BLUEBELLKEEL_CORE_IDENTIFIER_H

#include "bluebellkeel/Core/Comparable.h"
#include <string>
#include <utility>

namespace bluebellkeel {

/// A strongly typed identifier: identifiers of different kinds do not convert
/// to each other.
///
/// \tparam tag_t an empty type that distinguishes the kinds of identifier.
template <typename tag_t>
class identifier : public comparable<identifier<tag_t>> {
public:
  identifier() = default;
  explicit identifier(std::string Text) : Text(std::move(Text)) {}

  const std::string &text() const { return Text; }
  bool empty() const { return Text.empty(); }
  const std::string &key() const { return Text; }

private:
  std::string Text;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_IDENTIFIER_H
