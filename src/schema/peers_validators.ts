/** Validator generated from schema/peers.yaml.
 * @module */

// @ts-nocheck: generated code
"use strict";
export const validate = validate20;
export default validate20;
const schema31 = {"$schema":"https://json-schema.org/draft/2020-12/schema","title":"Frame","description":"Messages from one host to another, in order. Who sent them and to whom\nfollows from the connection. An acknowledgement of a frame covers all earlier\nones of its connection: it is a number alone, or rides on a frame that goes\nback.\n","type":"object","required":["id","batch"],"properties":{"id":{"type":"integer","minimum":0},"acknowledged":{"description":"Number of the last frame that the sender has received from the receiver;\nabsent if it has been acknowledged.\n","type":"integer","minimum":0},"batch":{"$ref":"#/$defs/Batch"}},"$defs":{"Batch":{"title":"Batch","type":"array","maxItems":4096,"items":{"$ref":"#/$defs/Parcel"}},"Parcel":{"title":"Parcel","type":"object","required":["channel","body"],"properties":{"channel":{"description":"A channel that a host does not know, as of a later release, costs\nits own message only.\n","type":"string","maxLength":64},"body":{"description":"Message of the channel, checked against its own schema.","type":"object"}}}}};
const schema32 = {"title":"Batch","type":"array","maxItems":4096,"items":{"$ref":"#/$defs/Parcel"}};
const schema33 = {"title":"Parcel","type":"object","required":["channel","body"],"properties":{"channel":{"description":"A channel that a host does not know, as of a later release, costs\nits own message only.\n","type":"string","maxLength":64},"body":{"description":"Message of the channel, checked against its own schema.","type":"object"}}};

function validate21(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate21.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(Array.isArray(data)){
if(data.length > 4096){
validate21.errors = [{instancePath,schemaPath:"#/maxItems",keyword:"maxItems",params:{limit: 4096},message:"must NOT have more than 4096 items",schema:4096,parentSchema:schema32,data}];
return false;
}
else {
var valid0 = true;
const len0 = data.length;
for(let i0=0; i0<len0; i0++){
let data0 = data[i0];
const _errs1 = errors;
const _errs2 = errors;
if(errors === _errs2){
if(data0 && typeof data0 == "object" && !Array.isArray(data0)){
let missing0;
if(((data0.channel === undefined) && (missing0 = "channel")) || ((data0.body === undefined) && (missing0 = "body"))){
validate21.errors = [{instancePath:instancePath+"/" + i0,schemaPath:"#/$defs/Parcel/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema33.required,parentSchema:schema33,data:data0}];
return false;
}
else {
if(data0.channel !== undefined){
let data1 = data0.channel;
const _errs4 = errors;
if(errors === _errs4){
if(typeof data1 === "string"){
if(data1.length > 64){
validate21.errors = [{instancePath:instancePath+"/" + i0+"/channel",schemaPath:"#/$defs/Parcel/properties/channel/maxLength",keyword:"maxLength",params:{limit: 64},message:"must NOT have more than 64 characters",schema:64,parentSchema:schema33.properties.channel,data:data1}];
return false;
}
}
else {
validate21.errors = [{instancePath:instancePath+"/" + i0+"/channel",schemaPath:"#/$defs/Parcel/properties/channel/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.properties.channel.type,parentSchema:schema33.properties.channel,data:data1}];
return false;
}
}
var valid2 = _errs4 === errors;
}
else {
var valid2 = true;
}
if(valid2){
if(data0.body !== undefined){
let data2 = data0.body;
const _errs6 = errors;
if(!(data2 && typeof data2 == "object" && !Array.isArray(data2))){
validate21.errors = [{instancePath:instancePath+"/" + i0+"/body",schemaPath:"#/$defs/Parcel/properties/body/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema33.properties.body.type,parentSchema:schema33.properties.body,data:data2}];
return false;
}
var valid2 = _errs6 === errors;
}
else {
var valid2 = true;
}
}
}
}
else {
validate21.errors = [{instancePath:instancePath+"/" + i0,schemaPath:"#/$defs/Parcel/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema33.type,parentSchema:schema33,data:data0}];
return false;
}
}
var valid0 = _errs1 === errors;
if(!valid0){
break;
}
}
}
}
else {
validate21.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema32.type,parentSchema:schema32,data}];
return false;
}
}
validate21.errors = vErrors;
return errors === 0;
}
validate21.evaluated = {"items":true,"dynamicProps":false,"dynamicItems":false};


function validate20(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate20.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((data.id === undefined) && (missing0 = "id")) || ((data.batch === undefined) && (missing0 = "batch"))){
validate20.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema31.required,parentSchema:schema31,data}];
return false;
}
else {
if(data.id !== undefined){
let data0 = data.id;
const _errs1 = errors;
if(!(((typeof data0 == "number") && (!(data0 % 1) && !isNaN(data0))) && (isFinite(data0)))){
validate20.errors = [{instancePath:instancePath+"/id",schemaPath:"#/properties/id/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema31.properties.id.type,parentSchema:schema31.properties.id,data:data0}];
return false;
}
if(errors === _errs1){
if((typeof data0 == "number") && (isFinite(data0))){
if(data0 < 0 || isNaN(data0)){
validate20.errors = [{instancePath:instancePath+"/id",schemaPath:"#/properties/id/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema31.properties.id,data:data0}];
return false;
}
}
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.acknowledged !== undefined){
let data1 = data.acknowledged;
const _errs3 = errors;
if(!(((typeof data1 == "number") && (!(data1 % 1) && !isNaN(data1))) && (isFinite(data1)))){
validate20.errors = [{instancePath:instancePath+"/acknowledged",schemaPath:"#/properties/acknowledged/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema31.properties.acknowledged.type,parentSchema:schema31.properties.acknowledged,data:data1}];
return false;
}
if(errors === _errs3){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 0 || isNaN(data1)){
validate20.errors = [{instancePath:instancePath+"/acknowledged",schemaPath:"#/properties/acknowledged/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema31.properties.acknowledged,data:data1}];
return false;
}
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.batch !== undefined){
const _errs5 = errors;
if(!(validate21(data.batch, {instancePath:instancePath+"/batch",parentData:data,parentDataProperty:"batch",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate21.errors : vErrors.concat(validate21.errors);
errors = vErrors.length;
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema31.type,parentSchema:schema31,data}];
return false;
}
}
validate20.errors = vErrors;
return errors === 0;
}
validate20.evaluated = {"props":{"id":true,"acknowledged":true,"batch":true},"dynamicProps":false,"dynamicItems":false};

