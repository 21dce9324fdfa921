#include "testing/raw_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace buckthorngrade {

raw_server::raw_server(handler serve)
    : m_listener(Poco::Net::SocketAddress("127.0.0.1:0"))
    , m_thread([this, serve = std::move(serve)] { run(serve); })
{ }

raw_server::~raw_server()
{
    m_isStopping = true;
    m_thread.join();
}

void raw_server::limitBuffers()
{
    constexpr int receiveBytes = 4 * 1024;
    constexpr int segmentBytes = 536; // the kernel sizes the peer's send buffer in segments
    m_listener.setReceiveBufferSize(receiveBytes);
    m_listener.setOption(IPPROTO_TCP, TCP_MAXSEG, segmentBytes);
}

void raw_server::run(const handler &serve)
{
    const Poco::Timespan pollTime(0, 20'000);
    while (!m_isStopping) {
        if (!m_listener.poll(pollTime, Poco::Net::Socket::SELECT_READ))
            continue;
        ++m_connections;
        try {
            Poco::Net::StreamSocket connection = m_listener.acceptConnection();
            serve(connection);
        } catch (const Poco::Exception &) { // the peer closed the connection
        }
    }
}

} // namespace buckthorngrade
