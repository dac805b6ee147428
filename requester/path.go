package requester

// Request paths of the model endpoints.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PathEmbeddings  = "/v1/embeddings"
)
