#ifndef BLUEBELLKEEL_CORE_EVENTLINE_H
#define BLUEBELLKEEL_CORE_EVENTLINE_H

#include <cstdint>
#include <string>
#include <string_view>

namespace bluebellkeel {

/// One line of the structured log: a JSON object that is built field by field.
class event_line {
public:
  /// \param Part the part of the program that writes the line.
  /// \param Event the fixed name of the event.
  event_line(std::string_view Part, std::string_view Event);

  event_line &add(std::string_view Name, std::string_view Value);
  event_line &add(std::string_view Name, const char *Value) {
    return add(Name, std::string_view(Value));
  }
  event_line &add(std::string_view Name, std::int64_t Value);
  event_line &add(std::string_view Name, bool Value);

  /// Returns the complete JSON object without a line break.
  std::string text() const { return Fields + "}"; }

private:
  void name(std::string_view Name);

  std::string Fields;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_EVENTLINE_H
