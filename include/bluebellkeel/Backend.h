#ifndef BLUEBELLKEEL_BACKEND_H
#define BLUEBELLKEEL_BACKEND_H

#include "bluebellkeel/Backend/AttemptErrorOf.h"
#include "bluebellkeel/Backend/EngineClient.h"
#include "bluebellkeel/Backend/LoadReader.h"
#include "bluebellkeel/Backend/ServiceClient.h"

#endif // BLUEBELLKEEL_BACKEND_H
