#ifndef BLUEBELLKEEL_CODEC_CODECERROR_H
#define BLUEBELLKEEL_CODEC_CODECERROR_H

#include "bluebellkeel/Core/Comparable.h"
#include <string>
#include <utility>

namespace bluebellkeel {

/// Describes why input could not be decoded.
class codec_error : public comparable<codec_error> {
public:
  explicit codec_error(std::string Message) : Message(std::move(Message)) {}

  const std::string &message() const { return Message; }
  const std::string &key() const { return Message; }

private:
  std::string Message;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CODEC_CODECERROR_H
