use std::{net::SocketAddr, pin::Pin};

use actix_codec::Framed;
use actix_http::{
    RequestHead, RequestHeadType, ResponseHead,
    body::BodySize,
    h1::{ClientCodec, ClientPayloadCodec, Message, MessageType},
    header::{HOST, HeaderName, HeaderValue},
};
use actix_rt::net::TcpStream;
use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt, future::poll_fn};

use super::{CallerAnswer, CallerError, CallerRequest};

/// The length of the pieces in which a body is sent.
const CHUNK_BYTES: usize = 8 * 1024;

/// A connection that carries one request at a time.
pub struct CallerConnection {
    address: SocketAddr,
    framed: Framed<TcpStream, ClientCodec>,
}

impl CallerConnection {
    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// Fails if the connection can't be opened.
    pub async fn open(
        address: SocketAddr,
    ) -> std::io::Result<CallerConnection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let framed = Framed::new(stream, ClientCodec::default());
        Ok(CallerConnection { address, framed })
    }

    /// Sends a request on a new connection and returns the complete answer.
    ///
    /// # Errors
    ///
    /// Fails if no connection opens or no complete answer arrives.
    pub async fn call(
        address: SocketAddr,
        request: CallerRequest,
    ) -> Result<CallerAnswer, CallerError> {
        let connection = CallerConnection::open(address)
            .await
            .map_err(|err| CallerError::Failed(err.to_string()))?;
        connection.send(request).await.map(|(answer, _)| answer)
    }

    /// Sends a request, and returns the complete answer and the connection,
    /// which can carry another request if [`CallerAnswer::keep_alive`] is set.
    ///
    /// # Errors
    ///
    /// Fails if no complete answer arrives. The connection is closed then.
    pub async fn send(
        mut self,
        request: CallerRequest,
    ) -> Result<(CallerAnswer, CallerConnection), CallerError> {
        self.write(request).await?;
        let head = self.read_head().await?;
        let CallerConnection { address, framed } = self;
        let keep_alive = framed.codec_ref().keep_alive();
        let (body, framed) = match framed.codec_ref().message_type() {
            MessageType::None => (Bytes::new(), framed),
            MessageType::Payload | MessageType::Stream => {
                let payload =
                    framed.into_map_codec(ClientCodec::into_payload_codec);
                let (body, payload) = read_body(payload).await?;
                let idle = payload
                    .into_map_codec(ClientPayloadCodec::into_message_codec);
                (body, idle)
            }
        };
        let answer = answer(&head, body, keep_alive);
        Ok((answer, CallerConnection { address, framed }))
    }

    /// Writes a request, with its body in pieces.
    async fn write(
        &mut self,
        request: CallerRequest,
    ) -> Result<(), CallerError> {
        let failed = |err: std::io::Error| {
            CallerError::Failed(format!("sending the request: {err}"))
        };
        let size = match request.chunked {
            true => BodySize::Stream,
            false => BodySize::Sized(request.body.len() as u64),
        };
        let head = self.head(&request)?;
        let framed = &mut self.framed;
        framed
            .feed(Message::Item((RequestHeadType::Owned(head), size)))
            .await
            .map_err(failed)?;
        for piece in request.body.chunks(CHUNK_BYTES) {
            let piece = request.body.slice_ref(piece);
            framed.feed(Message::Chunk(Some(piece))).await.map_err(failed)?;
        }
        if request.chunked || !request.body.is_empty() {
            framed.feed(Message::Chunk(None)).await.map_err(failed)?;
        }
        framed.flush().await.map_err(failed)
    }

    /// Builds the head of a request. Fails if its path or a header is invalid.
    fn head(
        &self,
        request: &CallerRequest,
    ) -> Result<RequestHead, CallerError> {
        let invalid = |text: &str| {
            CallerError::Failed(format!(
                "`{text}` is not valid in a request head"
            ))
        };
        let mut head = RequestHead::default();
        head.method = request.method.clone();
        head.uri = request.path.parse().map_err(|_| invalid(&request.path))?;
        let host = HeaderValue::from_str(&self.address.to_string());
        head.headers.insert(HOST, host.map_err(|_| invalid("host"))?);
        for (name, value) in &request.headers {
            let text =
                HeaderValue::from_str(value).map_err(|_| invalid(value))?;
            head.headers.append(HeaderName::from_static(name), text);
        }
        Ok(head)
    }

    /// Reads the head of the answer, skipping informational ones (1xx).
    async fn read_head(&mut self) -> Result<ResponseHead, CallerError> {
        loop {
            let head = self.framed.next().await;
            let head = head.ok_or(CallerError::Closed)?.map_err(|err| {
                CallerError::Failed(format!("reading the answer: {err}"))
            })?;
            if !head.status.is_informational() {
                return Ok(head);
            }
        }
    }
}

type PayloadConnection = Framed<TcpStream, ClientPayloadCodec>;

/// Reads a body to the end that its framing gives. Returns the connection too.
async fn read_body(
    mut payload: PayloadConnection,
) -> Result<(Bytes, PayloadConnection), CallerError> {
    let mut body = BytesMut::new();
    loop {
        let item = poll_fn(|cx| Pin::new(&mut payload).next_item(cx)).await;
        match item {
            Some(Ok(Some(chunk))) => body.extend_from_slice(&chunk),
            Some(Ok(None)) => return Ok((body.freeze(), payload)),
            Some(Err(_)) | None => {
                return Err(CallerError::Truncated(body.len()));
            }
        }
    }
}

fn answer(head: &ResponseHead, body: Bytes, keep_alive: bool) -> CallerAnswer {
    let headers = head
        .headers
        .iter()
        .map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes());
            (name.as_str().to_owned(), value.into_owned())
        })
        .collect();
    CallerAnswer { status: head.status.as_u16(), headers, body, keep_alive }
}
