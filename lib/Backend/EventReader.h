#ifndef BLUEBELLKEEL_LIB_BACKEND_EVENTREADER_H
#define BLUEBELLKEEL_LIB_BACKEND_EVENTREADER_H

#include <optional>
#include <string>
#include <string_view>

namespace bluebellkeel {

/// Splits a stream of server-sent events into the data of each event.
class event_reader {
public:
  /// Maximum length of an incomplete line, in bytes.
  static constexpr std::size_t MaxLineBytes = 256UL * 1024;

  /// Appends \p Piece. Returns false if an incomplete line exceeds
  /// MaxLineBytes.
  bool feed(std::string_view Piece) {
    Pending.append(Piece);
    return Pending.size() <= MaxLineBytes ||
           Pending.find('\n') != std::string::npos;
  }

  /// Returns the data of the next event; empty if more input is needed.
  std::optional<std::string> next();

private:
  std::string Pending;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_BACKEND_EVENTREADER_H
