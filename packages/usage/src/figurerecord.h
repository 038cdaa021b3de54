// Encodes the figures of windows as records of the log.
//
// A figure usually is one record, whose key is the window's number modulo figureKeyCount(). One
// with 21,000 organisations would exceed the size of a record, and is divided into records with the
// keys "KEY-PART-PARTS". They are appended directly one after another; the figure is committed once
// the last of them is appended. Parts that do not have consecutive offsets were not completed by
// their writer and do not count.
#pragma once

#include "auburn/duties/conditionallog.h"
#include "auburn/duties/dutyapi.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace auburn::usage {

// Figures by window.
using Figures = std::map<std::uint64_t, duties::UsageFigure>;

struct FigureRecord
{
    std::string key;
    std::string value;
};

// Number of windows whose figures the log keeps: those that may still be sent, the current one, and
// one to spare. It bounds the size of a listing.
std::uint64_t figureKeyCount(std::chrono::milliseconds windowLength);

// The records of a figure, in the order in which they must be appended.
std::vector<FigureRecord> encodeFigure(const duties::UsageFigure &figure, std::uint64_t keyCount);

struct CommittedFigures
{
    // One past the newest window with a figure; 0 if there is none.
    std::uint64_t nextWindow = 0;
    Figures figures;
};

// The committed figures of a listing, from the first window on; earlier ones are left out to save
// memory. Records that cannot be parsed and those of windows after the last one, which no daemon
// can have closed, are skipped.
CommittedFigures decodeFigures(const duties::LogListing &listing, std::uint64_t firstWindow,
                               std::uint64_t lastWindow);

} // namespace auburn::usage
