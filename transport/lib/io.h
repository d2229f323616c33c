// The Asio and Beast headers that this package uses. They are not precompiled,
// because that saves at most 2 s per file and breaks ccache and clang-tidy.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace berylreach::transport {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

}  // namespace berylreach::transport
