#include "auburn/scaling/slidingmaximum.h"

namespace auburn::scaling {

void SlidingMaximum::add(double value, TimePoint now)
{
    while (!samples_.empty() && samples_.back().value <= value)
        samples_.pop_back();
    samples_.push_back({ .at = now, .value = value });
    while (samples_.front().at + window_ < now)
        samples_.pop_front();
}

} // namespace auburn::scaling
