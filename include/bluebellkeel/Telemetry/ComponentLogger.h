#ifndef BLUEBELLKEEL_TELEMETRY_COMPONENTLOGGER_H
#define BLUEBELLKEEL_TELEMETRY_COMPONENTLOGGER_H

#include <string>
#include <string_view>

namespace bluebellkeel {

/// Writes the log lines of one component. Each line starts with the prefix of
/// the component.
class component_logger {
public:
  explicit component_logger(std::string Prefix);

  void debug(std::string_view Message) const;
  void info(std::string_view Message) const;
  void warn(std::string_view Message) const;
  void error(std::string_view Message) const;

private:
  std::string Prefix;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_TELEMETRY_COMPONENTLOGGER_H
