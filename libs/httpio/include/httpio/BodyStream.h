#pragma once

#include "httpio/BodyPipe.h"

namespace sequoia::httpio {

//! A GInputStream over a pipe for one attempt. It delivers the pipe's bytes, ends when the pipe is complete,
//! and fails when the pipe fails or the stream is detached.
ObjectPointer<GInputStream> createBodyStream(const std::shared_ptr<BodyPipe>& pipe);

//! Cuts the stream off from its pipe; a read in progress fails.
void detachBodyStream(GInputStream* stream);

}
