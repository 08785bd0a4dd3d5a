#ifndef BLUEBELLKEEL_TELEMETRY_COMPONENTLOGGER_H
#define BLUEBELLKEEL_TELEMETRY_COMPONENTLOGGER_H

#include <string>
#include <string_view>

namespace bluebellkeel {

/// Writes the log lines of one part of the program, each behind the part's
/// fixed prefix.
class component_logger {
public:
  explicit component_logger(std::string Prefix);

  void debug(std::string_view Sentence) const;
  void info(std::string_view Sentence) const;
  void warn(std::string_view Sentence) const;
  void error(std::string_view Sentence) const;

private:
  std::string Prefix;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_TELEMETRY_COMPONENTLOGGER_H
