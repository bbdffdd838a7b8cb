#include "relay/eventframeparser.h"

#include <criterion/criterion.h>

using namespace guavaspan;

Test(EventFrameParser, streamSplitAtAnySize_yieldsSameEvents)
{
    const std::string stream = "weights: 3\nid: 1\ndata: a b\n\nid:2\r\ndata: c\r\n\r\ndata: no id\n\n";
    for (std::size_t size = 1; size <= stream.size(); ++size) {
        EventFrameParser frames;
        for (std::size_t offset = 0; offset < stream.size(); offset += size)
            frames.feed(std::string_view(stream).substr(offset, size));
        std::string bytes;
        std::string ids;
        while (auto frame = frames.next()) {
            bytes += frame->bytes;
            ids += frame->id + ",";
        }
        cr_assert(bytes == stream);
        cr_assert(ids == "1,2,,");
        cr_assert(!frames.hasPartialFrame());
    }
}

Test(EventFrameParser, streamEndsWithinEvent_partialEventIsNotReturned)
{
    EventFrameParser frames;
    frames.feed("id: 1\ndata: a\n\nid: 2\ndata: hal");
    cr_expect(frames.next()->id == "1");
    cr_expect(!frames.next().has_value());
    cr_expect(frames.hasPartialFrame());
}
/// Guards against comments that count as tokens.
Test(EventFrameParser, commentOrBlankLine_hasNoData)
{
    EventFrameParser frames;
    frames.feed(": wait\n\n\nid: 1\ndata: a\n\n: wait\n\n");
    std::string withData;
    while (auto frame = frames.next())
        withData += frame->hasData ? "1" : "0";
    cr_expect_str_eq(withData.c_str(), "0010");
}

/// Guards against bytes that are no event but are forwarded as one.
Test(EventFrameParser, linesWithoutField_areMalformed)
{
    EventFrameParser frames;
    frames.feed("id: 1\ndata: a\n\njunk\n\nid: 2\ndata: b\n\n");
    cr_expect(frames.isMalformed());
    cr_expect(frames.next()->id == "1");
    cr_expect(!frames.next().has_value());
}
