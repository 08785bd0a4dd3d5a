#ifndef TEST_SOAK_NOTICECHECK_H
#define TEST_SOAK_NOTICECHECK_H

#include "SoakCheck.h"

namespace bluebellkeel {

/// Checks that gateways heed what runners say of themselves in their responses:
/// a limit on the requests of all gateways, that they leave, and a pause.
class notice_check final : public soak_check {
public:
  std::vector<std::string>
  violations(const soak_history &History) const override;
};

} // namespace bluebellkeel

#endif // TEST_SOAK_NOTICECHECK_H
