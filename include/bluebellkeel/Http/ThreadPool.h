#ifndef BLUEBELLKEEL_HTTP_THREADPOOL_H
#define BLUEBELLKEEL_HTTP_THREADPOOL_H

#include <boost/asio/io_context.hpp>
#include <memory>
#include <thread>
#include <vector>

namespace bluebellkeel {

/// Threads that run the coroutines of HTTP servers.
class thread_pool {
public:
  explicit thread_pool(std::size_t Count);
  ~thread_pool();

  boost::asio::io_context &context() { return Context; }

  /// Stops and joins the threads. Suspended coroutines are not resumed.
  void stop();

private:
  void run();

  boost::asio::io_context Context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work;
  std::vector<std::thread> Threads;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_HTTP_THREADPOOL_H
