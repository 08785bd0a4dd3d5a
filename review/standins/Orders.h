#ifndef REVIEW_STANDINS_ORDERS_H
#define REVIEW_STANDINS_ORDERS_H

#include "Deployment.h"
#include <atomic>
#include <thread>

namespace review {

/// Clients that send one order after another on kept connections, each with a
/// deadline of four seconds, and a sound runner that takes 0.4 s for each.
class orders {
public:
  static constexpr unsigned TimeoutMs = 4000;
  static constexpr unsigned ObjectiveMs = 150;

  explicit orders(record &Record);

  const runner &desk() const { return Desk; }
  /// Starts the clients; they end when their connection closes.
  void start(std::uint16_t Port, unsigned Clients);
  void stop();

  unsigned answered() const { return Answered; }
  /// Number of orders that ran, on connections that closed without an answer.
  unsigned lost() const { return Lost; }

private:
  void run(std::uint16_t Port, unsigned Client);

  record &Record;
  runner Desk;
  std::atomic<bool> Stopping{false};
  std::atomic<unsigned> Answered{0};
  std::atomic<unsigned> Lost{0};
  std::vector<std::thread> Threads;
};

/// Watches the memory of \p Gateway until \p End (since the start of the
/// record) and kills it when it exceeds \p MemoryMb, as the platform does.
struct memory_verdict {
  std::size_t PeakMb = 0;
  bool Killed = false;
};
memory_verdict enforceMemory(gateway &Gateway, unsigned MemoryMb,
                             record &Record, milliseconds End);

} // namespace review

#endif // REVIEW_STANDINS_ORDERS_H
