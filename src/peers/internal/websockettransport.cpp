#include "peers/websockettransport.h"

#include "peers/internal/peerproof.h"

#include <chrono>
#include <map>
#include <set>
#include <vector>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace guavaspan {

namespace {

    using Server = websocketpp::server<websocketpp::config::asio>;
    using Client = websocketpp::client<websocketpp::config::asio_client>;
    using websocketpp::connection_hdl;
    using SteadyClock = std::chrono::steady_clock;

    constexpr const char* proofHeader = "X-Guavaspan-Proof";
    constexpr const char* instanceNameHeader = "X-Guavaspan-Caller";
    constexpr long openTimeoutMilliseconds = 2000;
    constexpr long closeTimeoutMilliseconds = 500;
    // WebSocket frame, TCP and IP headers.
    constexpr std::size_t headerBytesPerMessage = 4 + 20 + 20;
    constexpr std::size_t maxQueuedMessages = 2000;

    template <typename EndpointType>
    void configureEndpoint(EndpointType& endpoint, boost::asio::io_context& context, std::size_t maxMessageBytes)
    {
        endpoint.clear_access_channels(websocketpp::log::alevel::all);
        endpoint.clear_error_channels(websocketpp::log::elevel::all);
        endpoint.init_asio(&context);
        endpoint.set_open_handshake_timeout(openTimeoutMilliseconds);
        endpoint.set_close_handshake_timeout(closeTimeoutMilliseconds);
        endpoint.set_max_message_size(maxMessageBytes);
        endpoint.set_socket_init_handler([](const connection_hdl&, boost::asio::ip::tcp::socket& socket) {
            boost::system::error_code ignored;
            socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        });
    }

}

class WebSocketTransport::Implementation {
public:
    Implementation(boost::asio::io_context& context, WebSocketTransportOptions options, Receiver receiver)
        : m_options(std::move(options))
        , m_receiver(std::move(receiver))
    {
        configureEndpoint(m_server, context, m_options.maxMessageBytes);
        configureEndpoint(m_client, context, m_options.maxMessageBytes);
        m_server.set_reuse_addr(true);
        m_server.set_validate_handler([this](const connection_hdl& handle) { return authenticate(handle); });
        m_server.set_open_handler([this](const connection_hdl& handle) { onAccepted(handle); });
        m_server.set_close_handler([this](const connection_hdl& handle) { onClosed(handle); });
        m_server.set_fail_handler([this](const connection_hdl& handle) { onClosed(handle); });
        m_server.set_message_handler([this](const connection_hdl& handle, const Server::message_ptr& message) { onMessage(handle, message->get_payload()); });
        m_client.set_open_handler([this](const connection_hdl& handle) { onOpened(handle); });
        m_client.set_close_handler([this](const connection_hdl& handle) { onClosed(handle); });
        m_client.set_fail_handler([this](const connection_hdl& handle) { onClosed(handle); });
        m_client.set_message_handler([this](const connection_hdl& handle, const Client::message_ptr& message) { onMessage(handle, message->get_payload()); });
    }

    std::uint16_t listen(const std::string& address, std::uint16_t port)
    {
        websocketpp::lib::error_code error;
        boost::system::error_code addressError;
        auto ip = boost::asio::ip::make_address(address, addressError);
        if (addressError)
            return 0;
        m_server.listen(boost::asio::ip::tcp::endpoint(ip, port), error);
        if (error)
            return 0;
        m_server.start_accept(error);
        auto bound = m_server.get_local_endpoint(addressError);
        return error || addressError ? 0 : bound.port();
    }

    bool send(const std::string& to, const std::string& address, std::uint16_t port, const std::string& payload)
    {
        auto found = m_links.find(to);
        if (found == m_links.end()) {
            if (port == 0 || !open(to, address, port))
                return false;
            found = m_links.find(to);
        }
        auto& link = found->second;
        if (!link.isReady) {
            if (link.queued.size() >= maxQueuedMessages)
                return false;
            link.queued.push_back(payload);
            return true;
        }
        return writeToLink(to, link, payload);
    }

    void closeIdle()
    {
        auto idleCutoff = SteadyClock::now() - std::chrono::seconds(m_options.idleTimeoutSeconds);
        std::vector<connection_hdl> idle;
        for (const auto& entry : m_links) {
            if (entry.second.lastUsedAt < idleCutoff)
                idle.push_back(entry.second.handle);
        }
        for (const auto& handle : idle)
            close(handle);
    }

    const TransportCounters& counters() const { return m_counters; }

private:
    struct Link {
        connection_hdl handle;
        bool outgoing = false;
        bool isReady = false;
        std::string nonce;
        std::vector<std::string> queued;
        SteadyClock::time_point lastUsedAt;
    };

    bool open(const std::string& to, const std::string& address, std::uint16_t port)
    {
        websocketpp::lib::error_code error;
        auto host = address.find(':') == std::string::npos ? address : "[" + address + "]";
        auto connection = m_client.get_connection("ws://" + host + ":" + std::to_string(port) + "/peers", error);
        if (error)
            return false;
        auto proof = makeProof(m_options.key, m_options.name);
        connection->append_header(instanceNameHeader, m_options.name);
        connection->append_header(proofHeader, proof.header);
        Link link;
        link.handle = connection->get_handle();
        link.outgoing = true;
        link.nonce = proof.nonce;
        link.lastUsedAt = SteadyClock::now();
        m_links[to] = link;
        m_peerNames[link.handle] = to;
        m_client.connect(connection);
        ++m_counters.connectionsOpened;
        return true;
    }

    bool writeToLink(const std::string& to, Link& link, const std::string& payload)
    {
        websocketpp::lib::error_code error;
        if (link.outgoing) {
            auto connection = m_client.get_con_from_hdl(link.handle, error);
            if (!error && connection->get_buffered_amount() > m_options.maxBufferedBytes)
                return false;
            if (!error)
                m_client.send(link.handle, payload, websocketpp::frame::opcode::binary, error);
        } else {
            auto connection = m_server.get_con_from_hdl(link.handle, error);
            if (!error && connection->get_buffered_amount() > m_options.maxBufferedBytes)
                return false;
            if (!error)
                m_server.send(link.handle, payload, websocketpp::frame::opcode::binary, error);
        }
        if (error) {
            m_peerNames.erase(link.handle);
            m_links.erase(to);
            return false;
        }
        link.lastUsedAt = SteadyClock::now();
        ++m_counters.messagesSent;
        m_counters.bytesSent += payload.size() + headerBytesPerMessage;
        return true;
    }

    /// Rejects a peer without a valid proof before it can send a message.
    bool authenticate(const connection_hdl& handle)
    {
        auto connection = m_server.get_con_from_hdl(handle);
        auto peerName = connection->get_request_header(instanceNameHeader);
        auto proof = connection->get_request_header(proofHeader);
        auto nonce = checkProof(m_options.key, peerName, proof, m_usedNonces);
        if (nonce.empty()) {
            ++m_counters.connectionsRefused;
            connection->set_status(websocketpp::http::status_code::unauthorized);
            return false;
        }
        connection->append_header(proofHeader, responseProof(m_options.key, nonce));
        return true;
    }

    void onAccepted(const connection_hdl& handle)
    {
        auto peerName = m_server.get_con_from_hdl(handle)->get_request_header(instanceNameHeader);
        auto found = m_links.find(peerName);
        bool hasReadyLink = found != m_links.end() && found->second.isReady;
        m_peerNames[handle] = peerName;
        if (hasReadyLink)
            return;
        // When two instances connect to each other at the same time, each keeps sending over the
        // link that became ready first on its side.
        Link link;
        link.handle = handle;
        link.isReady = true;
        link.lastUsedAt = SteadyClock::now();
        std::vector<std::string> queued;
        if (found != m_links.end())
            queued = std::move(found->second.queued);
        m_links[peerName] = link;
        for (const auto& payload : queued)
            send(peerName, "", 0, payload);
    }

    void onOpened(const connection_hdl& handle)
    {
        auto peerName = m_peerNames[handle];
        auto found = m_links.find(peerName);
        if (found == m_links.end() || found->second.handle.lock() != handle.lock())
            return;
        auto responseHeader = m_client.get_con_from_hdl(handle)->get_response_header(proofHeader);
        if (responseHeader != responseProof(m_options.key, found->second.nonce)) {
            ++m_counters.connectionsRefused;
            m_links.erase(found);
            close(handle);
            return;
        }
        found->second.isReady = true;
        auto queued = std::move(found->second.queued);
        found->second.queued.clear();
        for (const auto& payload : queued)
            send(peerName, "", 0, payload);
    }

    void onMessage(const connection_hdl& handle, const std::string& payload)
    {
        auto foundName = m_peerNames.find(handle);
        if (foundName == m_peerNames.end())
            return;
        auto from = foundName->second;
        auto foundLink = m_links.find(from);
        if (foundLink != m_links.end())
            foundLink->second.lastUsedAt = SteadyClock::now();
        ++m_counters.messagesReceived;
        m_counters.bytesReceived += payload.size() + headerBytesPerMessage;
        m_receiver(from, payload);
    }

    void onClosed(const connection_hdl& handle)
    {
        auto foundName = m_peerNames.find(handle);
        if (foundName == m_peerNames.end())
            return;
        auto foundLink = m_links.find(foundName->second);
        if (foundLink != m_links.end() && foundLink->second.handle.lock() == handle.lock())
            m_links.erase(foundLink);
        m_peerNames.erase(handle);
    }

    void close(const connection_hdl& handle)
    {
        websocketpp::lib::error_code ignored;
        m_client.close(handle, websocketpp::close::status::normal, "", ignored);
        if (ignored)
            m_server.close(handle, websocketpp::close::status::normal, "", ignored);
    }

    WebSocketTransportOptions m_options;
    Receiver m_receiver;
    Server m_server;
    Client m_client;
    std::map<std::string, Link> m_links;
    std::map<connection_hdl, std::string, std::owner_less<connection_hdl>> m_peerNames;
    NonceCache m_usedNonces;
    TransportCounters m_counters;
};

WebSocketTransport::WebSocketTransport(boost::asio::io_context& context, WebSocketTransportOptions options, Receiver receiver)
    : m_implementation(std::make_unique<Implementation>(context, std::move(options), std::move(receiver)))
{
}

WebSocketTransport::~WebSocketTransport() = default;

std::uint16_t WebSocketTransport::listen(const std::string& address, std::uint16_t port)
{
    return m_implementation->listen(address, port);
}

bool WebSocketTransport::send(const std::string& to, const std::string& address, std::uint16_t port, const std::string& payload)
{
    return m_implementation->send(to, address, port, payload);
}

void WebSocketTransport::closeIdle()
{
    m_implementation->closeIdle();
}

const TransportCounters& WebSocketTransport::counters() const
{
    return m_implementation->counters();
}

}
