#ifndef BLUEBELLKEEL_CORE_SHAREDTEXT_H
#define BLUEBELLKEEL_CORE_SHAREDTEXT_H

#include "bluebellkeel/Core/Comparable.h"
#include <memory>
#include <string>

namespace bluebellkeel {

/// An immutable string whose copies share its bytes, for bodies of requests
/// that pass through several types.
class shared_text : public comparable<shared_text> {
public:
  shared_text() = default;
  /// Implicit, since a shared text stands for the string wherever one is given.
  shared_text(std::string Text)
      : Text(Text.empty()
                 ? nullptr
                 : std::make_shared<const std::string>(std::move(Text))) {}
  shared_text(const char *Text) : shared_text(std::string(Text)) {}

  const std::string &text() const {
    static const std::string Empty;
    return Text ? *Text : Empty;
  }
  const std::string &key() const { return text(); }

private:
  std::shared_ptr<const std::string> Text;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_SHAREDTEXT_H
