#ifndef UTILS_CALLER_WORKRESULT_H
#define UTILS_CALLER_WORKRESULT_H

#include "WorkEnd.h"
#include <string>

namespace bluebellkeel {

/// What came back for one piece of work.
struct work_result {
  work_end End = work_end::Cut;
  std::string Reason;
  std::string Text;
  std::string Version;
  std::string Session;
};

} // namespace bluebellkeel

#endif // UTILS_CALLER_WORKRESULT_H
