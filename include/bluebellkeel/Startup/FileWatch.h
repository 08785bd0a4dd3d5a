#ifndef BLUEBELLKEEL_STARTUP_FILEWATCH_H
#define BLUEBELLKEEL_STARTUP_FILEWATCH_H

#include <optional>
#include <string>

namespace bluebellkeel {

/// Detects changes of a small file by comparing its content. Used by one thread
/// at a time.
class file_watch {
public:
  explicit file_watch(std::string Path);

  /// True if the content differs from the content last read. A file that cannot
  /// be read counts as unchanged.
  bool changed();

private:
  std::optional<std::string> read() const;

  std::string Path;
  std::optional<std::string> LastContent;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_STARTUP_FILEWATCH_H
