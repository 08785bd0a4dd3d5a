#ifndef REVIEW_STANDINS_RUNNER_H
#define REVIEW_STANDINS_RUNNER_H

#include "Listener.h"
#include "Record.h"
#include <map>
#include <mutex>

namespace review {

/// Stand-in for a runner. It turns away requests for other runners, records
/// each run, and answers with the function that it is given.
class runner {
public:
  /// Answers the request whose head is \p Request, whose body is not read yet.
  using answer_function =
      std::function<void(connection &Connection, message &Request)>;

  runner(std::string Id, record &Record, answer_function Answer,
         int ReceiveBytes = 0)
      : Id(std::move(Id)), Record(Record), Answer(std::move(Answer)),
        Server([this](connection &Connection) { serve(Connection); },
               ReceiveBytes) {}

  const std::string &id() const { return Id; }
  std::string address() const { return Server.address(); }
  /// Number of runs of the request \p Request.
  unsigned runsOf(const std::string &Request) const;

  /// Fields of each answer to \p Request.
  static field_list answerFields(const message &Request);

private:
  void serve(connection &Connection);

  std::string Id;
  record &Record;
  answer_function Answer;
  mutable std::mutex Mutex;
  std::map<std::string, unsigned> Runs;
  listener Server;
};

} // namespace review

#endif // REVIEW_STANDINS_RUNNER_H
