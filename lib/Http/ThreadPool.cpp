#include "bluebellkeel/Http/ThreadPool.h"

using namespace bluebellkeel;

thread_pool::thread_pool(std::size_t Count)
    : Context(static_cast<int>(Count)), Work(Context.get_executor()) {
  for (std::size_t I = 0; I < Count; ++I)
    Threads.emplace_back([this] { Context.run(); });
}

thread_pool::~thread_pool() { stop(); }

void thread_pool::stop() {
  Context.stop();
  for (auto &Thread : Threads) {
    if (Thread.joinable())
      Thread.join();
  }
}
