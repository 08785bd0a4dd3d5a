#ifndef BLUEBELLKEEL_CODEC_H
#define BLUEBELLKEEL_CODEC_H

#include "bluebellkeel/Codec/CodecError.h"
#include "bluebellkeel/Codec/DutyJson.h"
#include "bluebellkeel/Codec/JsonConversion.h"
#include "bluebellkeel/Codec/JsonText.h"
#include "bluebellkeel/Codec/RecordCodec.h"

#endif // BLUEBELLKEEL_CODEC_H
