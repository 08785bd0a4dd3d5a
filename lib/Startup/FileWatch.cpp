#include "bluebellkeel/Startup/FileWatch.h"
#include <fstream>
#include <sstream>

using namespace bluebellkeel;

file_watch::file_watch(std::string Path)
    : Path(std::move(Path)), LastContent(read()) {}

std::optional<std::string> file_watch::read() const {
  std::ifstream File(Path);
  if (!File)
    return std::nullopt;
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

bool file_watch::changed() {
  auto Now = read();
  if (!Now || Now == LastContent)
    return false;
  LastContent = std::move(Now);
  return true;
}
