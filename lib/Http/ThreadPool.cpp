#include "bluebellkeel/Http/ThreadPool.h"
#include "absl/strings/str_cat.h"
#include <iostream>

using namespace bluebellkeel;

thread_pool::thread_pool(std::size_t Count)
    : Context(static_cast<int>(Count)), Work(Context.get_executor()) {
  for (std::size_t I = 0; I < Count; ++I)
    Threads.emplace_back([this] { run(); });
}

/// Runs tasks until the pool stops. A task that throws ends alone.
void thread_pool::run() {
  while (!Context.stopped()) {
    try {
      Context.run();
    } catch (const std::exception &Error) {
      std::cerr << absl::StrCat("http: a task failed: ", Error.what(), "\n");
    }
  }
}

thread_pool::~thread_pool() { stop(); }

void thread_pool::stop() {
  Context.stop();
  for (auto &Thread : Threads) {
    if (Thread.joinable())
      Thread.join();
  }
}
