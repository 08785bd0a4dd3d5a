#ifndef BLUEBELLKEEL_RUNTIME_H
#define BLUEBELLKEEL_RUNTIME_H

#include "bluebellkeel/Runtime/InstanceRuntime.h"

#endif // BLUEBELLKEEL_RUNTIME_H
