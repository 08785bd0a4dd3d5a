#ifndef BLUEBELLKEEL_STARTUP_FILEWATCH_H
#define BLUEBELLKEEL_STARTUP_FILEWATCH_H

#include <optional>
#include <string>

namespace bluebellkeel {

/// Notices when a small file has other content than before. Used by one thread
/// at a time.
class file_watch {
public:
  explicit file_watch(std::string Path);

  /// True once for each change. A file that cannot be read has not changed.
  bool changed();

private:
  std::optional<std::string> read() const;

  std::string Path;
  std::optional<std::string> LastContent;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_STARTUP_FILEWATCH_H
