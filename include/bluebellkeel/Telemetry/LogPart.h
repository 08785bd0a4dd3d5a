#ifndef BLUEBELLKEEL_TELEMETRY_LOGPART_H
#define BLUEBELLKEEL_TELEMETRY_LOGPART_H

#include <string>
#include <string_view>

namespace bluebellkeel {

/// Writes the log lines of one part of the program, each behind the part's
/// fixed prefix.
class log_part {
public:
  explicit log_part(std::string Prefix);

  void debug(std::string_view Sentence) const;
  void info(std::string_view Sentence) const;
  void warn(std::string_view Sentence) const;
  void error(std::string_view Sentence) const;

private:
  std::string Prefix;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_TELEMETRY_LOGPART_H
