#ifndef REVIEW_STANDINS_RECORD_H
#define REVIEW_STANDINS_RECORD_H

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using clock_type = std::chrono::steady_clock;
using time_point = clock_type::time_point;
using milliseconds = std::chrono::milliseconds;

/// The file of a case that lists what was sent, answered and run, each line
/// with the milliseconds since the start. Thread-safe.
class record {
public:
  explicit record(const std::string &Path) : File(Path) {}

  void write(const std::string &Line) {
    std::lock_guard<std::mutex> Lock(Mutex);
    File << sinceStart().count() << " " << Line << "\n" << std::flush;
  }
  milliseconds sinceStart() const {
    return std::chrono::duration_cast<milliseconds>(clock_type::now() - Start);
  }

private:
  time_point Start = clock_type::now();
  std::mutex Mutex;
  std::ofstream File;
};

} // namespace review

#endif // REVIEW_STANDINS_RECORD_H
