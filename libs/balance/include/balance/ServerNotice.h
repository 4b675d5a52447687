#pragma once

#include "core/Clock.h"

namespace sequoia::balance {

//! Longest pause that a backend server can ask for. Bounds the effect of an absurd value.
constexpr Duration maxServerPause = std::chrono::seconds(60);

//! What a backend server announced about itself in a response.
struct ServerNotice {
    bool leaving = false; //!< It takes no new requests until it starts anew.
    Duration pause {}; //!< It wants no request from this host for this time.

    bool isEmpty() const { return !this->leaving && this->pause <= Duration::zero(); }
};

}
