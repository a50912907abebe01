package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
)

// Objects is a client of the object store.
type Objects struct {
	// Put stores content under a name. A name always holds the same content, so a repeated Put
	// is harmless.
	Put func(ctx context.Context, name string, content []byte) error
	// Get returns the content of an object or ErrNotFound.
	Get func(ctx context.Context, name string) ([]byte, error)
}

// NewObjects returns a client of a bucket at an S3 endpoint.
func NewObjects(endpoint, bucket string, creds Credentials) *Objects {
	client := s3.New(s3.Options{
		BaseEndpoint:               aws.String(endpoint),
		Region:                     region,
		UsePathStyle:               true,
		Credentials:                credentials.NewStaticCredentialsProvider(creds.Key, creds.Secret, ""),
		RetryMaxAttempts:           callAttempts,
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
		HTTPClient:                 newHTTPClient(maxObjectBytes),
	})
	b := &bucketClient{client: client, bucket: bucket}
	return &Objects{Put: b.put, Get: b.get}
}

type bucketClient struct {
	client *s3.Client
	bucket string
}

func (b *bucketClient) put(ctx context.Context, name string, content []byte) error {
	_, err := b.client.PutObject(ctx, &s3.PutObjectInput{
		Bucket: aws.String(b.bucket),
		Key:    aws.String(name),
		Body:   bytes.NewReader(content),
	})
	if err != nil {
		return fmt.Errorf("%w: put object %s: %v", ErrUnknownOutcome, name, err)
	}
	return nil
}

func (b *bucketClient) get(ctx context.Context, name string) ([]byte, error) {
	out, err := b.client.GetObject(ctx, &s3.GetObjectInput{Bucket: aws.String(b.bucket), Key: aws.String(name)})
	var missing *types.NoSuchKey
	if errors.As(err, &missing) {
		return nil, fmt.Errorf("%w: object %s", ErrNotFound, name)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: get object %s: %v", ErrUnknownOutcome, name, err)
	}
	defer func() { _ = out.Body.Close() }()
	content, err := io.ReadAll(out.Body)
	if err != nil {
		return nil, fmt.Errorf("%w: read object %s: %w", ErrUnknownOutcome, name, err)
	}
	return content, nil
}
