#ifndef BLUEBELLKEEL_LIB_HTTP_UNFINISHEDREQUEST_H
#define BLUEBELLKEEL_LIB_HTTP_UNFINISHEDREQUEST_H

#include "InterruptibleStream.h"
#include "bluebellkeel/Core/MemoryBudget.h"
#include "bluebellkeel/Core/MemoryHolder.h"
#include <atomic>
#include <memory>

namespace bluebellkeel {

/// A request that is being read. While memory is short it gives way to newer
/// ones: nobody knows whether its end will come.
class unfinished_request {
public:
  unfinished_request(memory_budget &Memory,
                     std::shared_ptr<interruptible_stream> Connection)
      : Memory(Memory), Reader(std::make_shared<reader>(std::move(Connection))),
        Number(Memory.addHolder(Reader, std::chrono::steady_clock::now())) {}
  unfinished_request(const unfinished_request &) = delete;
  unfinished_request &operator=(const unfinished_request &) = delete;
  ~unfinished_request() { Memory.removeHolder(Number); }

  /// Declares that the request holds \p Bytes of the budget.
  void holds(std::size_t Bytes) { Memory.setHeld(Number, Bytes); }
  /// True if the reads of the request were ended to free its memory.
  bool gaveWay() const { return Reader->GaveWay; }

private:
  struct reader final : memory_holder {
    explicit reader(std::shared_ptr<interruptible_stream> Connection)
        : Connection(std::move(Connection)) {}

    void giveUp() override {
      GaveWay = true;
      Connection->endReads();
    }

    const std::shared_ptr<interruptible_stream> Connection;
    std::atomic<bool> GaveWay{false};
  };

  memory_budget &Memory;
  const std::shared_ptr<reader> Reader;
  const std::uint64_t Number;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_HTTP_UNFINISHEDREQUEST_H
