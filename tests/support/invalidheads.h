#pragma once

#include <string>
#include <vector>

namespace Filbertmount::TestSupport {

/** A line of a response head that no reader may accept, with its line end; a body of four bytes follows the head. */
struct InvalidLine {
    std::string name;
    std::string line;
    /** Ends the head; states the length unless the line is meant to. */
    std::string end = "Content-Length: 4\r\n\r\nbody";
};

/** Lines whose field name or value is not valid. */
inline std::vector<InvalidLine> invalidLines()
{
    std::vector<InvalidLine> lines = {
        {"no name", ": value\r\n"},
        {"no colon", "value\r\n"},
        {"blank after the name of the length", "Content-Length : 4\r\n", "\r\nbody"},
        {"tab after the name of the encoding", "Transfer-Encoding\t: chunked\r\n", "\r\n4\r\nbody\r\n0\r\n\r\n"},
        {"NUL in a value", std::string("Own: a\0b\r\n", 10)},
        {"carriage return in a value", "Own: a\rb\r\n"},
        {"byte 127 in a name", "Own\x7fname: value\r\n"},
    };
    for (int byte = 0; byte <= ' '; ++byte) {
        if (byte != '\n') {
            lines.push_back({"byte " + std::to_string(byte) + " in a name",
                             "Own" + std::string(1, static_cast<char>(byte)) + "name: value\r\n"});
        }
    }
    return lines;
}

/** Status codes that are not 100 to 599. */
inline std::vector<std::string> invalidStatuses()
{
    return {"000", "001", "099", "600", "999", "20", "2000", "2x0", "-20", " 20"};
}

} // namespace Filbertmount::TestSupport
