#ifndef BLUEBELLKEEL_LIB_HTTP_RECEPTION_H
#define BLUEBELLKEEL_LIB_HTTP_RECEPTION_H

#include "bluebellkeel/Core/Comparable.h"
#include <string>
#include <tuple>

namespace bluebellkeel {

/// How the attempt to receive a request has ended.
class reception : public comparable<reception> {
public:
  enum class kind {
    /// The request has arrived whole.
    Whole,
    /// There is no memory for it.
    NoMemory,
    /// It must be refused with a status.
    Refused,
    /// The client has left or was too slow.
    Ended,
  };

  static reception whole() { return reception(kind::Whole, 0, ""); }
  static reception noMemory() { return reception(kind::NoMemory, 0, ""); }
  static reception refused(int Status, std::string Text) {
    return reception(kind::Refused, Status, std::move(Text));
  }
  static reception ended() { return reception(kind::Ended, 0, ""); }

  kind type() const { return Type; }
  /// The HTTP status and the text of a refusal.
  int status() const { return Status; }
  const std::string &text() const { return Text; }
  auto key() const { return std::tie(Type, Status, Text); }

private:
  reception(kind Type, int Status, std::string Text)
      : Type(Type), Status(Status), Text(std::move(Text)) {}

  kind Type;
  int Status;
  std::string Text;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_HTTP_RECEPTION_H
