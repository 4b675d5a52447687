#pragma once

namespace sequoia::dispatch {

//! Token bucket that bounds retries to a fraction of the requests received, so that retries cannot multiply
//! the load of an overloaded fleet.
class RetryBudget {
public:
    //! Each request received adds `ratio` tokens, up to a fixed maximum.
    explicit RetryBudget(double ratio);

    void requestReceived();

    //! Takes the token for one retry; returns false if there is none.
    bool tryTakeToken();
    bool hasToken() const;

private:
    double tokensPerRequest;
    double tokens;
};

}
