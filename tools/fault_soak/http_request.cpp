#include "http_request.h"

namespace fault_soak {

asio::awaitable<HttpResult> send_http_request(asio::io_context& io, tcp::endpoint server, std::string request,
                                              Duration timeout) {
    tcp::socket socket(io);
    asio::steady_timer timer(io, timeout);
    timer.async_wait([&socket](error_code cancelled) {
        error_code ignored;
        if (!cancelled) socket.close(ignored);
    });
    error_code error;
    co_await socket.async_connect(server, into(error));
    if (!error) co_await asio::async_write(socket, asio::buffer(request), into(error));
    boost::beast::flat_buffer buffer;
    HttpResponse response;
    if (!error) co_await http::async_read(socket, buffer, response, into(error));
    timer.cancel();
    // The handler of the timer refers to the socket, so it has to run before this coroutine ends.
    co_await asio::post(io, asio::use_awaitable);
    co_return HttpResult{error ? 0 : response.result_int(), response.body()};
}

}  // namespace fault_soak
