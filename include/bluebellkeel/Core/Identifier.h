#ifndef BLUEBELLKEEL_CORE_IDENTIFIER_H
#define BLUEBELLKEEL_CORE_IDENTIFIER_H

#include "bluebellkeel/Core/Comparable.h"
#include <string>
#include <utility>

namespace bluebellkeel {

/// A name that cannot be mistaken for a name of another kind.
///
/// \tparam tag_t an empty type that tells the kinds apart.
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
