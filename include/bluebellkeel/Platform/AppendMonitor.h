#ifndef BLUEBELLKEEL_PLATFORM_APPENDMONITOR_H
#define BLUEBELLKEEL_PLATFORM_APPENDMONITOR_H

#include <cstddef>
#include <string>

namespace bluebellkeel {

/// Receives the result of each append to the log.
class append_monitor {
public:
  virtual ~append_monitor() = default;

  virtual void countAppend(const std::string &Stream, bool Succeeded,
                           std::size_t Entries) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PLATFORM_APPENDMONITOR_H
